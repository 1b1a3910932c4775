//! Draws line charts as SVG files.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);

/// Largest number of lines for which a legend is drawn; a longer legend would cover the chart.
const MAX_LEGEND_LINES: usize = 12;

/// Height of the y axis as a multiple of the highest point, so that there is space above it.
const HEADROOM: f64 = 1.08;

/// Colour of vertical marks.
const MARK_COLOUR: RGBColor = RGBColor(200, 200, 200);

/// An error while drawing a chart or writing its file.
#[derive(Debug, Error)]
#[error(transparent)]
pub(crate) struct ChartError(#[from] DrawingAreaErrorKind<io::Error>);

/// One line of a chart.
#[derive(Clone, Debug)]
pub(crate) struct ChartLine {
    /// Name in the legend.
    pub(crate) name: String,
    /// Points as pairs of x and y, in drawing order.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A chart of lines over common axes.
#[derive(Clone, Debug)]
pub(crate) struct Chart<'a> {
    /// Heading above the chart.
    pub(crate) title: &'a str,
    /// Label of the x axis.
    pub(crate) x_label: &'a str,
    /// Label of the y axis.
    pub(crate) y_label: &'a str,
    /// The lines, in the order of the legend.
    pub(crate) lines: Vec<ChartLine>,
    /// Positions on the x axis at which a grey vertical line is drawn.
    pub(crate) vertical_marks: Vec<f64>,
}

type SvgChart<'p> = ChartContext<'p, SVGBackend<'p>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl Chart<'_> {
    /// Draws the chart into an SVG file at `path`.
    pub(crate) fn draw(&self, path: &Path) -> Result<(), ChartError> {
        let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..self.x_max(), 0.0..self.y_max())?;
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

    /// Upper end of the x axis, at least 1.
    fn x_max(&self) -> f64 {
        self.points().map(|point| point.0).fold(1.0, f64::max)
    }

    /// Upper end of the y axis, slightly above the highest finite point.
    fn y_max(&self) -> f64 {
        let finite = self.points().map(|point| point.1).filter(|y| y.is_finite());
        finite.fold(1e-3, f64::max) * HEADROOM
    }

    fn draw_marks(&self, chart: &mut SvgChart<'_>) -> Result<(), ChartError> {
        let y_max = self.y_max();
        for mark in &self.vertical_marks {
            let line = [(*mark, 0.0), (*mark, y_max)];
            chart.draw_series(LineSeries::new(line, MARK_COLOUR))?;
        }
        Ok(())
    }

    fn draw_lines(&self, chart: &mut SvgChart<'_>) -> Result<(), ChartError> {
        let has_legend = self.lines.len() <= MAX_LEGEND_LINES;
        for (number, line) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(number).mix(0.9);
            let points = line.points.iter().copied();
            let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
            if has_legend {
                let key = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour);
                series.label(&line.name).legend(key);
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
