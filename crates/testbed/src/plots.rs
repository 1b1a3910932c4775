//! Plots as SVG.

use crate::event_log::Event;
use crate::report::Report;
use crate::run::RunOutcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE: (u32, u32) = (900, 420);

/// Lines over a common axis, each with its name.
pub struct Chart<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
    /// Places on the x axis to mark.
    pub marks: Vec<f64>,
}

impl Chart<'_> {
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.1);
        let right = points().map(|p| p.0).fold(1.0, f64::max);
        let top = points()
            .map(|p| p.1)
            .filter(|y| y.is_finite())
            .fold(1e-3, f64::max)
            * 1.08;
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .y_desc(self.y)
            .light_line_style(WHITE)
            .draw()?;
        for mark in &self.marks {
            let line = [(*mark, 0.0), (*mark, top)];
            chart.draw_series(LineSeries::new(line, RGBColor(200, 200, 200)))?;
        }
        for (nth, (name, line)) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(nth).mix(0.9);
            let drawn = chart.draw_series(LineSeries::new(
                line.iter().copied(),
                colour.stroke_width(2),
            ))?;
            if self.lines.len() <= 12 {
                let key = move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour);
                drawn.label(name).legend(key);
            }
        }
        if self.lines.len() <= 12 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()?;
        }
        root.present()?;
        Ok(())
    }
}

/// `service.svg`, `hosts.svg` and `proxies.svg` of a run.
pub fn write(report: &Report, ran: &RunOutcome, folder: &Path) -> Result<(), Box<dyn Error>> {
    let begin = ran.testbed.begin.borrow().unwrap_or_default().as_secs_f64();
    let begins = |r: &crate::event_log::LoggedEvent| match r.seen {
        Event::Fault { begins: true, .. } => Some(r.at.as_secs_f64() - begin),
        _ => None,
    };
    let marks: Vec<f64> = ran.records.iter().filter_map(begins).collect();
    let seconds = || report.seconds.iter().enumerate();
    let chart = Chart {
        title: "clients: wanted and well served",
        x: "seconds; grey: a fault begins",
        y: "clients",
        lines: vec![
            (
                "wanted".into(),
                seconds().map(|(t, s)| (t as f64, s.0)).collect(),
            ),
            (
                "well served".into(),
                seconds().map(|(t, s)| (t as f64, s.1)).collect(),
            ),
        ],
        marks: marks.clone(),
    };
    chart.draw(&folder.join("service.svg"))?;
    let count = ran.loads.first().map_or(0, Vec::len);
    let host = |n: usize| {
        ran.loads
            .iter()
            .enumerate()
            .map(move |(t, row)| (t as f64, f64::from(row[n])))
    };
    let line = |n: usize| (format!("host {n}"), host(n).collect());
    let lines = (0..count).map(line).collect();
    let (title, x, y) = (
        "load of each host",
        "seconds; grey: a fault begins",
        "asked / can do",
    );
    Chart {
        title,
        x,
        y,
        lines,
        marks: marks.clone(),
    }
    .draw(&folder.join("hosts.svg"))?;
    let line = |(n, used): (usize, &Vec<crate::proxies::ResourceUsage>)| {
        let steps = used.windows(2).filter(|w| w[1].cpu >= w[0].cpu);
        (
            format!("proxy {n}"),
            steps
                .map(|w| (w[1].second as f64, w[1].cpu - w[0].cpu))
                .collect(),
        )
    };
    let lines = ran.used.iter().enumerate().map(line).collect();
    let (title, x, y) = (
        "processor of each proxy",
        "seconds; grey: a fault begins",
        "share of a core",
    );
    Chart {
        title,
        x,
        y,
        lines,
        marks,
    }
    .draw(&folder.join("proxies.svg"))
}
