//! Line charts as SVG.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Most lines that a legend names; more of them would cover the chart.
const MAX_LEGEND_LINES: usize = 12;

/// Room above the highest point, as a factor.
const HEADROOM: f64 = 1.08;

const MARK_COLOUR: RGBColor = RGBColor(200, 200, 200);

/// Why a chart could not be drawn.
#[derive(Debug, Error)]
#[error(transparent)]
pub(crate) struct ChartError(#[from] DrawingAreaErrorKind<io::Error>);

/// One line of a chart.
#[derive(Clone, Debug)]
pub(crate) struct ChartLine {
    /// Its name in the legend.
    pub(crate) name: String,
    /// Its points, x and y.
    pub(crate) points: Vec<(f64, f64)>,
}

/// Lines over common axes.
#[derive(Clone, Debug)]
pub(crate) struct Chart<'a> {
    /// Its heading.
    pub(crate) title: &'a str,
    /// What the x axis shows.
    pub(crate) x_label: &'a str,
    /// What the y axis shows.
    pub(crate) y_label: &'a str,
    /// The lines.
    pub(crate) lines: Vec<ChartLine>,
    /// Positions on the x axis that get a vertical line.
    pub(crate) vertical_marks: Vec<f64>,
}

type SvgChart<'p> = ChartContext<'p, SVGBackend<'p>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl Chart<'_> {
    /// Draws the chart into a file.
    pub(crate) fn draw(&self, path: &Path) -> Result<(), ChartError> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..self.right(), 0.0..self.top())?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .light_line_style(WHITE)
            .draw()?;
        self.draw_marks(&mut chart)?;
        self.draw_lines(&mut chart)?;
        root.present()?;
        Ok(())
    }

    fn points(&self) -> impl Iterator<Item = &(f64, f64)> {
        self.lines.iter().flat_map(|line| &line.points)
    }

    /// The end of the x axis.
    fn right(&self) -> f64 {
        self.points().map(|point| point.0).fold(1.0, f64::max)
    }

    /// The end of the y axis.
    fn top(&self) -> f64 {
        let finite = self.points().map(|point| point.1).filter(|y| y.is_finite());
        finite.fold(1e-3, f64::max) * HEADROOM
    }

    fn draw_marks(&self, chart: &mut SvgChart<'_>) -> Result<(), ChartError> {
        let top = self.top();
        for mark in &self.vertical_marks {
            let line = [(*mark, 0.0), (*mark, top)];
            chart.draw_series(LineSeries::new(line, MARK_COLOUR))?;
        }
        Ok(())
    }

    fn draw_lines(&self, chart: &mut SvgChart<'_>) -> Result<(), ChartError> {
        let has_legend = self.lines.len() <= MAX_LEGEND_LINES;
        for (number, line) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(number).mix(0.9);
            let points = line.points.iter().copied();
            let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            if has_legend {
                let key = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour);
                drawn.label(&line.name).legend(key);
            }
        }
        if has_legend {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()?;
        }
        Ok(())
    }
}
