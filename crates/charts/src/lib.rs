//! Draws measurements as SVG: lines over time, with labelled, shaded time spans. The caller supplies all values; this crate
//! computes none.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Width of a picture, in pixels.
const WIDTH: u32 = 1000;
/// Height of one panel, in pixels.
const PANEL_HEIGHT: u32 = 260;
/// Font size of span labels, in pixels.
const SPAN_FONT_SIZE: i32 = 12;
/// Number of rows over which the labels of successive spans are spread, so that neighbouring labels do not overlap.
const LABEL_ROWS: usize = 4;

/// A line over time.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Times in seconds, ascending, with their values. `None` is a gap in the line.
    pub points: Vec<(f64, Option<f64>)>,
}

/// A time span that is shaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Label of the span.
    pub name: String,
    /// Start, in seconds.
    pub from: f64,
    /// End, in seconds.
    pub to: f64,
}

/// A chart whose lines share their axes.
#[derive(Clone, Debug, PartialEq)]
pub struct Panel {
    /// Quantity that the values express, with its unit.
    pub title: String,
    /// Lines of the chart. Colours repeat after four lines.
    pub lines: Vec<Line>,
    /// Value that the value axis includes in any case. Without it the highest value of the lines limits the axis.
    pub top: Option<f64>,
}

/// A picture: panels below one another that share a time axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Picture {
    /// Title above all panels.
    pub title: String,
    /// Length of the time axis in seconds, which starts at 0.
    pub length: f64,
    /// Panels, from top to bottom.
    pub panels: Vec<Panel>,
    /// Time spans that are shaded in every panel.
    pub spans: Vec<Span>,
}

/// Reports that a picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the picture `{title}` could not be drawn: {cause}; are all its figures finite?")]
pub struct DrawError {
    title: String,
    cause: String,
}

const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 80, 160), RGBColor(150, 150, 150), RGBColor(200, 90, 20), RGBColor(20, 130, 80)];
const SHADE: RGBColor = RGBColor(220, 60, 60);

impl Picture {
    /// Returns the picture as the text of an SVG file.
    ///
    /// # Errors
    /// Returns an error if the picture cannot be drawn, for example because a value is not finite.
    pub fn svg(&self) -> Result<String, DrawError> {
        let mut text = String::new();
        let result = self.draw(&mut text);
        result.map_err(|e| DrawError { title: self.title.clone(), cause: e.to_string() })?;
        Ok(text)
    }

    fn draw(&self, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let size = (WIDTH, 40 + PANEL_HEIGHT * self.panels.len().max(1) as u32);
        let root = SVGBackend::with_string(text, size).into_drawing_area();
        root.fill(&WHITE)?;
        let root = root.titled(&self.title, ("sans-serif", 20))?;
        for (panel, area) in
            self.panels.iter().zip(root.split_evenly((self.panels.len().max(1), 1)))
        {
            self.draw_panel(panel, &area)?;
        }
        root.present()?;
        Ok(())
    }

    fn draw_panel(
        &self,
        panel: &Panel,
        area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let values = panel.lines.iter().flat_map(|l| l.points.iter().filter_map(|(_, v)| *v));
        let highest = values.fold(panel.top.unwrap_or(0.0), f64::max);
        let top = if highest > 0.0 { highest * 1.05 } else { 1.0 };
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.title, ("sans-serif", 15))
            .margin(8)
            .margin_right(24)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..self.length.max(1e-3), 0.0..top)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        for (n, span) in self.spans.iter().enumerate() {
            let (from, to) = (span.from.clamp(0.0, self.length), span.to.clamp(0.0, self.length));
            let shade = Rectangle::new([(from, 0.0), (to, top)], SHADE.mix(0.15).filled());
            chart.draw_series([shade])?;
            let edge = PathElement::new(vec![(from, 0.0), (from, top)], SHADE.mix(0.6));
            chart.draw_series([edge])?;
            let style = ("sans-serif", SPAN_FONT_SIZE).into_font().color(&SHADE);
            // A label close to the end of the time axis stands to the left of its edge, since it would be cut off on the
            // right.
            let is_left = from > 0.8 * self.length;
            let anchor = Pos::new(if is_left { HPos::Right } else { HPos::Left }, VPos::Top);
            let label_height = top * (1.0 - 0.07 * (n % LABEL_ROWS) as f64);
            let at = (from + if is_left { -0.004 } else { 0.004 } * self.length, label_height);
            chart.draw_series([Text::new(span.name.clone(), at, style.pos(anchor))])?;
        }
        for (line, colour) in panel.lines.iter().zip(COLOURS.iter().cycle()) {
            // A gap splits a line into segments. The first segment represents the line in the legend.
            let segments = line.points.split(|(_, v)| v.is_none());
            let segments = segments.filter(|s| !s.is_empty());
            for (n, segment) in segments.enumerate() {
                let points = segment.iter().filter_map(|(at, v)| Some((*at, (*v)?)));
                let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
                if n == 0 {
                    let legend_entry = |(x, y)| {
                        PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
                    };
                    series.label(&line.name).legend(legend_entry);
                }
            }
        }
        if panel.lines.len() > 1 {
            let mut labels = chart.configure_series_labels();
            let labels = labels.position(SeriesLabelPosition::LowerRight);
            labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn picture() -> Picture {
        let line = |name: &str, points| Line { name: name.to_string(), points };
        let points = vec![
            (0.0, Some(1.0)),
            (1.0, Some(0.5)),
            (2.0, None),
            (3.0, Some(1.0)),
            (4.0, Some(1.0)),
        ];
        Picture {
            title: "a day".to_string(),
            length: 4.0,
            panels: vec![Panel {
                title: "service".to_string(),
                lines: vec![line("run", points), line("twin", vec![])],
                top: Some(1.0),
            }],
            spans: vec![Span { name: "balancer-kill <n0>".to_string(), from: 1.0, to: 2.0 }],
        }
    }

    #[test]
    fn svg_contains_lines_spans_and_names_and_a_gap_splits_a_line() {
        let svg = picture().svg().expect("picture can be drawn");
        assert!(svg.starts_with("<svg ") && svg.trim_end().ends_with("</svg>"));
        for text in ["a day", "service", "run", "balancer-kill &lt;n0&gt;"] {
            assert!(svg.contains(text), "{text}");
        }
        let thick_strokes = svg.matches("stroke-width=\"2\"").count();
        assert_eq!(thick_strokes, 3, "two segments and one legend entry");
        let without_spans =
            Picture { spans: vec![], ..picture() }.svg().expect("picture can be drawn");
        assert!(!without_spans.contains("balancer-kill"));
    }

    #[test]
    fn a_picture_without_panels_is_drawn_empty() {
        let empty = Picture { title: String::new(), length: 0.0, panels: vec![], spans: vec![] };
        assert!(empty.svg().expect("picture can be drawn").contains("<svg "));
    }
}
